import type { KeyValueCallId } from "../types/ids.js";
import type { KeyValueResult } from "../types/messages.js";
import type { KeyValuePurpose, World } from "../world.js";

/** Requests a value from the key-value service. */
export function readKey(world: World, key: string, purpose: KeyValuePurpose): void {
    world.effects.push({ kind: "key-value-get", call: registerCall(world, purpose), key });
}

/** Requests the version of a value, which costs far less than the value. */
export function readVersion(world: World, key: string, purpose: KeyValuePurpose): void {
    world.effects.push({ kind: "key-value-version", call: registerCall(world, purpose), key });
}

/** Requests that the key-value service replace a value if its version is the expected one. */
export function compareAndSwapKey(
    world: World,
    key: string,
    expected: number,
    value: string,
    purpose: KeyValuePurpose,
    lifetimeMs?: number,
): void {
    world.effects.push({
        kind: "key-value-swap",
        call: registerCall(world, purpose),
        key,
        expected,
        value,
        lifetimeMs,
    });
}

function registerCall(world: World, purpose: KeyValuePurpose): KeyValueCallId {
    const call = world.nextKeyValueCallId++ as KeyValueCallId;
    world.keyValueCalls.set(call, purpose);
    return call;
}

/** Removes and returns the purpose of a completed call, and records whether the service is available. */
export function completeCall(
    world: World,
    call: KeyValueCallId,
    result: KeyValueResult,
    now: number,
): KeyValuePurpose | undefined {
    const purpose = world.keyValueCalls.get(call);
    world.keyValueCalls.delete(call);
    const answered = result.kind !== "unavailable" && result.kind !== "unknown";
    world.keyValueFailingSince = answered ? undefined : world.keyValueFailingSince ?? now;
    return purpose;
}
