import type { KeyValueCallId } from "../types/ids.js";
import type { KeyValueResult } from "../types/messages.js";
import type { KeyValuePurpose, World } from "../world.js";

/** Asks for a value of the key-value service. */
export function readKey(world: World, key: string, purpose: KeyValuePurpose): void {
    world.effects.push({ kind: "key-value-get", call: register(world, purpose), key });
}

/** Asks for the version of a value, which costs far less than the value. */
export function readVersion(world: World, key: string, purpose: KeyValuePurpose): void {
    world.effects.push({ kind: "key-value-version", call: register(world, purpose), key });
}

/** Asks the key-value service to replace a value if its version is the expected one. */
export function swapKey(
    world: World,
    key: string,
    expected: number,
    value: string,
    purpose: KeyValuePurpose,
    lifetimeMs?: number,
): void {
    world.effects.push({ kind: "key-value-swap", call: register(world, purpose), key, expected, value, lifetimeMs });
}

function register(world: World, purpose: KeyValuePurpose): KeyValueCallId {
    const call = world.nextCall++ as KeyValueCallId;
    world.keyValueCalls.set(call, purpose);
    return call;
}

/** Takes the purpose of a call that was answered, and notes whether the service answers. */
export function takePurpose(
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
