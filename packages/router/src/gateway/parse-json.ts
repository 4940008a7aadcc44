/** Parses JSON; returns undefined for invalid text, which no schema accepts. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
