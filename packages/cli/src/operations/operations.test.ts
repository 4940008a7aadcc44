import { type BudgetId, CONFIGURATION_HEAD_KEY, ledgerKey, parseHead, parseRecord } from "@gooseberrybend/core";
import { describe, expect, it } from "vitest";
import { MemoryStore } from "../mocks/memory-store.js";
import { releaseHolder } from "./budgets.js";
import type { CollectedFiles } from "./collect.js";
import { publish } from "./publish.js";
import { topUp } from "./top-up.js";

const main = "main" as BudgetId;

function files(path: string, text: string): CollectedFiles {
    return { roots: [path.split("/")[0]!], texts: { [path]: text }, budgets: new Map() };
}

function request(path: string, text: string, base?: number) {
    return { files: files(path, text), by: "operator", base, dryRun: false, now: 1 };
}

const operation = (id: string): string =>
    `{ "operations": [{ "service": "s-${id}", "id": "${id}", "method": "GET", "path": "/${id}" }] }`;

function headOf(store: MemoryStore): ReturnType<typeof parseHead> {
    return parseHead(store.values.get(CONFIGURATION_HEAD_KEY)?.value);
}

describe("operators' commands", () => {
    describe("top-up", () => {
        it("counts an id once though its reply was lost", async () => {
            const store = new MemoryStore();
            store.lostReplies.add(1);
            const change = { budget: main, tokens: 100, at: 1 };
            expect((await topUp(store, "a", "id", change))._unsafeUnwrap()).toMatchObject({
                applied: true,
                granted: 100,
            });
            expect((await topUp(store, "a", "id", change))._unsafeUnwrap()).toMatchObject({
                applied: false,
                granted: 100,
            });
        });

        it("loses nothing against a faster writer", async () => {
            const store = new MemoryStore();
            let raced = false;
            store.beforeWrite = () => {
                if (!raced) {
                    raced = true;
                    store.values.set(ledgerKey("a"), {
                        version: 9,
                        value: '{"budgets":{"main":{"granted":7,"billed":0}}}',
                    });
                }
            };
            const report = await topUp(store, "a", "id", { budget: main, tokens: 100, at: 1 });
            expect(report._unsafeUnwrap().granted).toBe(107);
        });
    });

    describe("publish", () => {
        it("is put in force once though its reply was lost", async () => {
            const store = new MemoryStore();
            store.lostReplies.add(2);
            expect((await publish(store, request("x/f", operation("o"))))._unsafeUnwrap().version).toBe(1);
            expect(headOf(store).version).toBe(1);
        });

        it("merges other files and conflicts on the same one", async () => {
            const store = new MemoryStore();
            await publish(store, request("x/f", operation("o"), 0));
            expect((await publish(store, request("y/f", operation("p"), 0))).isOk()).toBe(true);
            const conflict = await publish(store, request("x/f", operation("q"), 0));
            expect(conflict._unsafeUnwrapErr()).toMatchObject({ kind: "conflict" });
            expect(headOf(store).version).toBe(2);
        });

        it("changes nothing when the files are in force already", async () => {
            const store = new MemoryStore();
            await publish(store, request("x/f", operation("o")));
            expect((await publish(store, request("x/f", operation("o"))))._unsafeUnwrap().version).toBe(1);
            expect(headOf(store).version).toBe(1);
        });

        it("checks the whole configuration before anything is in force", async () => {
            const store = new MemoryStore();
            const budget = '{ "budgets": [{ "account": "nobody", "id": "main" }] }';
            expect((await publish(store, request("x/f", budget)))._unsafeUnwrapErr().kind).toBe("faults");
            expect(headOf(store).version).toBe(0);
        });

        it("removes files that are gone from a folder", async () => {
            const store = new MemoryStore();
            await publish(store, request("x/f", operation("o")));
            const report = await publish(store, request("x/g", operation("p")));
            expect(report._unsafeUnwrap()).toMatchObject({ added: ["x/g"], removed: ["x/f"] });
        });
    });

    describe("release", () => {
        it("returns what a router held", async () => {
            const store = new MemoryStore();
            await topUp(store, "a", "id", { budget: main, tokens: 100, at: 1 });
            const record = parseRecord(store.values.get(ledgerKey("a"))!.value);
            const holder = { operation: "o", at: 1, witnesses: [], epoch: 1, budgets: { main: { allowance: 40 } } };
            const value = JSON.stringify({ ...record, holders: { gone: holder } });
            store.values.set(ledgerKey("a"), { version: 50, value });
            expect((await releaseHolder(store, "a", "gone"))._unsafeUnwrap().tokens).toBe(40);
            expect(parseRecord(store.values.get(ledgerKey("a"))!.value).holders).toEqual({});
        });
    });
});
