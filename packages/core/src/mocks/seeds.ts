/** Parses a range of seeds, written as FIRST-LAST. */
export function seedsOf(range: string): number[] {
    const [first, last] = range.split("-").map(Number);
    return Array.from({ length: last! - first! + 1 }, (unused, index) => first! + index);
}
