import { type BudgetId, CONFIGURATION_HEAD_KEY, ledgerKey, parseHead, parseRecord } from "@gooseberrybend/core";
import { describe, expect, it } from "vitest";
import { MemoryStore } from "../mocks/memory-store.js";
import { releaseHolder } from "./budgets.js";
import type { CollectedFiles } from "./collect.js";
import { publish } from "./publish.js";
import { topUp } from "./top-up.js";

const mainBudget = "main" as BudgetId;

function collectedFiles(path: string, text: string): CollectedFiles {
    return { roots: [path.split("/")[0]!], texts: { [path]: text }, budgets: new Map() };
}

function publishRequest(path: string, text: string, base?: number) {
    return { files: collectedFiles(path, text), by: "operator", base, dryRun: false, now: 1 };
}

const operationFile = (id: string): string =>
    `{ "operations": [{ "service": "s-${id}", "id": "${id}", "method": "GET", "path": "/${id}" }] }`;

function headOf(store: MemoryStore): ReturnType<typeof parseHead> {
    return parseHead(store.values.get(CONFIGURATION_HEAD_KEY)?.value);
}

describe("operator commands", () => {
    describe("top-up", () => {
        it("applies an id only once when the reply is lost", async () => {
            const store = new MemoryStore();
            store.lostReplies.add(1);
            const change = { budget: mainBudget, tokens: 100, at: 1 };
            expect((await topUp(store, "a", "id", change))._unsafeUnwrap()).toMatchObject({
                applied: true,
                granted: 100,
            });
            expect((await topUp(store, "a", "id", change))._unsafeUnwrap()).toMatchObject({
                applied: false,
                granted: 100,
            });
        });

        it("keeps the change of a concurrent writer", async () => {
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
            const report = await topUp(store, "a", "id", { budget: mainBudget, tokens: 100, at: 1 });
            expect(report._unsafeUnwrap().granted).toBe(107);
        });
    });

    describe("publish", () => {
        it("puts a version in force only once when the reply is lost", async () => {
            const store = new MemoryStore();
            store.lostReplies.add(2);
            expect((await publish(store, publishRequest("x/f", operationFile("o"))))._unsafeUnwrap().version).toBe(1);
            expect(headOf(store).version).toBe(1);
        });

        it("merges changes to different files and reports a conflict on the same file", async () => {
            const store = new MemoryStore();
            await publish(store, publishRequest("x/f", operationFile("o"), 0));
            expect((await publish(store, publishRequest("y/f", operationFile("p"), 0))).isOk()).toBe(true);
            const conflict = await publish(store, publishRequest("x/f", operationFile("q"), 0));
            expect(conflict._unsafeUnwrapErr()).toMatchObject({ kind: "conflict" });
            expect(headOf(store).version).toBe(2);
        });

        it("changes nothing when the same files are already in force", async () => {
            const store = new MemoryStore();
            await publish(store, publishRequest("x/f", operationFile("o")));
            expect((await publish(store, publishRequest("x/f", operationFile("o"))))._unsafeUnwrap().version).toBe(1);
            expect(headOf(store).version).toBe(1);
        });

        it("checks the whole configuration before putting it in force", async () => {
            const store = new MemoryStore();
            const budget = '{ "budgets": [{ "account": "nobody", "id": "main" }] }';
            expect((await publish(store, publishRequest("x/f", budget)))._unsafeUnwrapErr().kind).toBe("faults");
            expect(headOf(store).version).toBe(0);
        });

        it("removes files that no longer exist in the folder", async () => {
            const store = new MemoryStore();
            await publish(store, publishRequest("x/f", operationFile("o")));
            const report = await publish(store, publishRequest("x/g", operationFile("p")));
            expect(report._unsafeUnwrap()).toMatchObject({ added: ["x/g"], removed: ["x/f"] });
        });
    });

    describe("release", () => {
        it("returns the tokens that a router held", async () => {
            const store = new MemoryStore();
            await topUp(store, "a", "id", { budget: mainBudget, tokens: 100, at: 1 });
            const record = parseRecord(store.values.get(ledgerKey("a"))!.value);
            const holder = { operation: "o", at: 1, witnesses: [], epoch: 1, budgets: { main: { allowance: 40 } } };
            const value = JSON.stringify({ ...record, holders: { gone: holder } });
            store.values.set(ledgerKey("a"), { version: 50, value });
            expect((await releaseHolder(store, "a", "gone"))._unsafeUnwrap().tokens).toBe(40);
            expect(parseRecord(store.values.get(ledgerKey("a"))!.value).holders).toEqual({});
        });
    });
});
