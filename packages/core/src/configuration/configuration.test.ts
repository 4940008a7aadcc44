import { describe, expect, it } from "vitest";
import { includesPublication, mergePublication, parseHead } from "./publication.js";
import { declarationSchema, parseFile } from "./schema.js";
import { compileSnapshot } from "./snapshot.js";

const digest = "0".repeat(64);

describe("configuration", () => {
    describe("declaration files", () => {
        it("reports line and column of an invalid value", () => {
            const text = '{\n    // comment\n    "budgets": [\n        { "account": "a", "id": "B!" }\n    ]\n}';
            const faults = parseFile("f.jsonc", text, declarationSchema)._unsafeUnwrapErr();
            expect(faults[0]).toMatchObject({ file: "f.jsonc", line: 4, column: 33 });
        });

        it("rejects unknown fields, duplicate names and invalid JSON", () => {
            for (const text of ['{ "acounts": [] }', '{ "accounts": [], "accounts": [] }', '{ "accounts": [ }', ""]) {
                expect(parseFile("f.jsonc", text, declarationSchema).isErr()).toBe(true);
            }
        });

        it("treats an operation as not idempotent unless it is declared idempotent", () => {
            const text = '{ "operations": [{ "service": "s", "id": "o", "method": "POST", "path": "/o" }] }';
            expect(parseFile("f.jsonc", text, declarationSchema)._unsafeUnwrap().operations[0]!.idempotent).toBe(false);
        });
    });

    describe("snapshots", () => {
        it("rejects a budget of an undeclared account and a credential of two accounts", () => {
            const budgets = compileSnapshot({
                version: 1,
                files: { f: '{ "budgets": [{ "account": "a", "id": "b" }] }' },
            }, new Map());
            expect(budgets._unsafeUnwrapErr()[0]!.message).toContain("account a is not declared in any file");
            const accounts =
                `{ "accounts": [{ "id": "a", "credentialDigests": ["${digest}"] }, { "id": "b", "credentialDigests": ["${digest}"] }] }`;
            expect(compileSnapshot({ version: 1, files: { f: accounts } }, new Map()).isErr()).toBe(true);
        });
    });

    describe("publications", () => {
        const publication = (id: string, base: number, path: string, text: string | undefined) => ({
            id,
            by: id,
            at: 1,
            base,
            changes: { [path]: text },
        });
        const published = mergePublication(parseHead(undefined), publication("first", 0, "a", "1"))._unsafeUnwrap();

        it("merges files that only one operator changed", () => {
            const merged = mergePublication(published, publication("second", 0, "b", "2"))._unsafeUnwrap();
            expect(Object.keys(merged.files)).toEqual(["a", "b"]);
            expect(merged.version).toBe(2);
        });

        it("reports a conflict to the later of two operators who changed the same file", () => {
            const conflicts = mergePublication(published, publication("second", 0, "a", "2"))._unsafeUnwrapErr();
            expect(conflicts[0]).toMatchObject({ path: "a", by: "first", version: 1 });
        });

        it("reports a conflict for a file that was removed concurrently", () => {
            const removed = mergePublication(published, publication("second", 1, "a", undefined))._unsafeUnwrap();
            expect(mergePublication(removed, publication("third", 1, "a", "3")).isErr()).toBe(true);
        });

        it("detects that a publication whose reply was lost was applied", () => {
            expect(includesPublication(published, "first")).toBe(true);
            expect(includesPublication(published, "second")).toBe(false);
        });
    });
});
