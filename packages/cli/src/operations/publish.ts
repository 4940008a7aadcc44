import {
    assembleSnapshot,
    type BudgetId,
    compileSnapshot,
    CONFIGURATION_HEAD_KEY,
    type ConfigurationHead,
    digestText,
    includesPublication,
    mergePublication,
    parseHead,
    partKey,
    type Publication,
    publishedFiles,
    type Snapshot,
} from "@gooseberrybend/core";
import type { KeyValueStore } from "@gooseberrybend/router";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { CommandFailure } from "../failure.js";
import type { CollectedFiles } from "./collect.js";
import { pauseBeforeRetry, topUp } from "./top-up.js";

/** Files to publish and how to publish them. */
export type PublishRequest = {
    readonly files: CollectedFiles;
    readonly by: string;
    /** Version that the files are based on, or undefined for the version in force. */
    readonly base: number | undefined;
    readonly dryRun: boolean;
    readonly now: number;
};

/** Changes that a publication made. */
export type PublishReport = {
    readonly version: number;
    readonly added: readonly string[];
    readonly changed: readonly string[];
    readonly removed: readonly string[];
    /** Budgets that received their initial tokens. */
    readonly granted: readonly string[];
};

const MAX_ATTEMPTS = 40;

type StoredHead = { readonly head: ConfigurationHead; readonly version: number; };

/** Validates the whole configuration with the new files and puts it in force. */
export async function publish(
    store: KeyValueStore,
    request: PublishRequest,
): Promise<Result<PublishReport, CommandFailure>> {
    const id = randomUUID();
    let base = request.base;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        const stored = await readHead(store);
        if (stored === undefined) {
            await pauseBeforeRetry(attempt);
            continue;
        }
        base ??= stored.head.version;
        const publication = createPublication(request, stored.head, id, base);
        const report = comparePublication(stored.head, publication);
        if (includesPublication(stored.head, id)) {
            return grantInitialTokens(store, request, { ...report, version: stored.head.version });
        }
        if (report.added.length + report.changed.length + report.removed.length === 0) {
            return grantInitialTokens(store, request, { ...report, version: stored.head.version });
        }
        const outcome = await tryPublish(store, request, stored, publication);
        if (outcome.isErr()) {
            return err(outcome.error);
        }
        if (outcome.value) {
            return request.dryRun ? ok(report) : grantInitialTokens(store, request, report);
        }
        await pauseBeforeRetry(attempt);
    }
    return err({
        kind: "unavailable",
        message: "The key-value service does not answer. Run the same command again: nothing is published twice.",
    });
}

async function tryPublish(
    store: KeyValueStore,
    request: PublishRequest,
    stored: StoredHead,
    publication: Publication,
): Promise<Result<boolean, CommandFailure>> {
    const merged = mergePublication(stored.head, publication);
    if (merged.isErr()) {
        return err({ kind: "conflict", conflicts: merged.error });
    }
    const snapshot = await readSnapshot(store, merged.value, publication);
    if (snapshot === undefined) {
        return ok(false);
    }
    const compiled = compileSnapshot(snapshot, new Map());
    if (compiled.isErr()) {
        return err({ kind: "faults", faults: compiled.error });
    }
    if (request.dryRun) {
        return ok(true);
    }
    if (!await writeParts(store, publication)) {
        return ok(false);
    }
    const swap = await store.compareAndSwap(CONFIGURATION_HEAD_KEY, stored.version, JSON.stringify(merged.value));
    return ok(swap.kind === "applied");
}

function createPublication(request: PublishRequest, head: ConfigurationHead, id: string, base: number): Publication {
    const changes: Record<string, string | undefined> = { ...request.files.texts };
    for (const [path] of publishedFiles(head)) {
        const collected = request.files.roots.some((root) => path.startsWith(`${root}/`));
        if (collected && !(path in changes)) {
            changes[path] = undefined;
        }
    }
    return { id, by: request.by, at: request.now, base, changes };
}

function comparePublication(head: ConfigurationHead, publication: Publication): PublishReport {
    const before = new Map(publishedFiles(head).map(([path, file]) => [path, file.digest]));
    const entries = Object.entries(publication.changes);
    return {
        version: head.version + 1,
        added: entries.filter(([path, text]) => text !== undefined && !before.has(path)).map(([path]) => path),
        changed: entries
            .filter(([path, text]) => text !== undefined && before.has(path) && before.get(path) !== digestText(text))
            .map(([path]) => path),
        removed: entries.filter(([path, text]) => text === undefined && before.has(path)).map(([path]) => path),
        granted: [],
    };
}

async function readHead(store: KeyValueStore): Promise<StoredHead | undefined> {
    const result = await store.get(CONFIGURATION_HEAD_KEY);
    if (result.kind !== "value") {
        return undefined;
    }
    return { head: parseHead(result.current.value), version: result.current.version };
}

async function readSnapshot(
    store: KeyValueStore,
    head: ConfigurationHead,
    publication: Publication,
): Promise<Snapshot | undefined> {
    const parts = new Map<string, string>();
    for (const text of Object.values(publication.changes)) {
        if (text !== undefined) {
            parts.set(digestText(text), text);
        }
    }
    for (const [, file] of publishedFiles(head)) {
        if (parts.has(file.digest)) {
            continue;
        }
        const part = await store.get(partKey(file.digest));
        if (part.kind !== "value" || part.current.value === undefined) {
            return undefined;
        }
        parts.set(file.digest, part.current.value);
    }
    return assembleSnapshot(head, parts);
}

async function writeParts(store: KeyValueStore, publication: Publication): Promise<boolean> {
    for (const text of Object.values(publication.changes)) {
        if (text === undefined) {
            continue;
        }
        const result = await store.compareAndSwap(partKey(digestText(text)), 0, text);
        if (result.kind !== "applied" && result.kind !== "conflict") {
            return false;
        }
    }
    return true;
}

// Initial tokens are granted once the budget is in force. The fixed id makes a repeated grant a no-op.
async function grantInitialTokens(
    store: KeyValueStore,
    request: PublishRequest,
    report: PublishReport,
): Promise<Result<PublishReport, CommandFailure>> {
    const granted: string[] = [];
    for (const budget of request.files.budgets.values()) {
        if (budget.initialTokens === 0 || request.dryRun) {
            continue;
        }
        const change = { budget: budget.id as BudgetId, tokens: budget.initialTokens, at: request.now };
        const result = await topUp(store, budget.account, `initial/${budget.id}`, change);
        if (result.isErr()) {
            return err(result.error);
        }
        if (result.value.applied) {
            granted.push(`${budget.account}/${budget.id}`);
        }
    }
    return ok({ ...report, granted });
}
