import {
    assembleSnapshot,
    CONFIGURATION_HEAD_KEY,
    parseHead,
    partKey,
    publishedFiles,
} from "../configuration/publication.js";
import { compileSnapshot, type Snapshot } from "../configuration/snapshot.js";
import { digestText } from "../support/digest.js";
import { schedule } from "../support/due-queue.js";
import type { KeyValueResult } from "../types/messages.js";
import type { World } from "../world.js";
import { readKey, readVersion } from "./key-value.js";

/** Reads the pointer to the published configuration. */
export function readHead(world: World): void {
    readKey(world, CONFIGURATION_HEAD_KEY, { kind: "configuration-head" });
}

/** Polls for a new pointer, in case a watch missed a change. */
export function pollConfiguration(world: World, now: number): void {
    readVersion(world, CONFIGURATION_HEAD_KEY, { kind: "configuration-version" });
    schedule(world.due, now + world.policy.configurationPollMs, { kind: "configuration" });
}

/** Reads the pointer if it has changed, or if parts that the last one refers to are still missing. */
export function handleHeadVersionReply(world: World, result: KeyValueResult): void {
    if (result.kind !== "value") {
        return;
    }
    if (result.current.version !== world.storedHeadVersion || world.pendingHead !== undefined) {
        readHead(world);
    }
}

/** Handles a pointer that was read, and requests the parts that are missing. */
export function handleHeadReply(world: World, result: KeyValueResult): void {
    if (result.kind !== "value") {
        return;
    }
    world.storedHeadVersion = result.current.version;
    const head = parseHead(result.current.value);
    if (head.version <= world.configuration.version) {
        world.pendingHead = undefined;
        return;
    }
    world.pendingHead = head;
    for (const [, file] of publishedFiles(head)) {
        if (!world.parts.has(file.digest)) {
            readKey(world, partKey(file.digest), { kind: "configuration-part", digest: file.digest });
        }
    }
    adoptHeadIfComplete(world);
}

/** Stores a part of the configuration, and adopts the configuration once it is complete. */
export function handlePartReply(world: World, digest: string, result: KeyValueResult): void {
    if (result.kind === "value" && result.current.value !== undefined) {
        world.parts.set(digest, result.current.value);
        adoptHeadIfComplete(world);
    }
}

function adoptHeadIfComplete(world: World): void {
    const head = world.pendingHead;
    const snapshot = head === undefined ? undefined : assembleSnapshot(head, world.parts);
    if (snapshot !== undefined) {
        world.pendingHead = undefined;
        adoptSnapshot(world, snapshot);
    }
}

/** Activates a valid snapshot if it is newer than the active one; the version never decreases. */
export function adoptSnapshot(world: World, snapshot: Snapshot): void {
    if (snapshot.version <= world.configuration.version) {
        return;
    }
    const compiled = compileSnapshot(snapshot, world.declarationCache);
    if (compiled.isErr()) {
        return;
    }
    world.snapshot = snapshot;
    world.configuration = compiled.value;
    cacheParts(world, snapshot);
    world.effects.push({ kind: "configuration-adopted", version: snapshot.version });
}

function cacheParts(world: World, snapshot: Snapshot): void {
    world.parts.clear();
    for (const text of Object.values(snapshot.files)) {
        world.parts.set(digestText(text), text);
    }
    for (const text of world.declarationCache.keys()) {
        if (!world.parts.has(digestText(text))) {
            world.declarationCache.delete(text);
        }
    }
}
