/** Shortest and longest time in ms between two marks: what a router may have used since its last one is lost with it. */
const MARK_MS = [600, 1_500] as const;
/** Time in ms that each holder adds, so that a fleet writes at most about seven marks a second up to ten holders. */
const MARK_MS_PER_HOLDER = 150;
/** Shortest and longest time in ms between two looks at which allowances have to change. */
const REVIEW_MS = [1_000, 2_000] as const;
/** Time in ms that each holder adds: records that many write meet in conflicts. */
const REVIEW_MS_PER_HOLDER = 200;

/** Returns the time in ms between two marks of a router, in a fleet in which so many hold tokens. */
export function markIntervalMs(holders: number): number {
    return between(MARK_MS, holders * MARK_MS_PER_HOLDER);
}

/** Returns the time in ms between two reviews of a router's allowances, in a fleet in which so many hold tokens. */
export function reviewIntervalMs(holders: number): number {
    return between(REVIEW_MS, holders * REVIEW_MS_PER_HOLDER);
}

/** Longest pause in ms after a first conflict, which doubles with each one in a row: a write takes about as long. */
const FIRST_CONFLICT_MS = 10;
const LONGEST_CONFLICT_MS = 160;

/** Returns the pause in ms before a write that met another router's is tried again; chance is in [0, 1). */
export function conflictPauseMs(conflicts: number, chance: number): number {
    return chance * Math.min(LONGEST_CONFLICT_MS, FIRST_CONFLICT_MS * 2 ** conflicts);
}

function between([least, most]: readonly [number, number], value: number): number {
    return Math.min(most, Math.max(least, value));
}
