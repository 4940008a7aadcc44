import { describe, expect, it } from "vitest";
import { nextTickAt, tick } from "../tick.js";
import { type AccountId, brand, type FailureDomain, type Incarnation } from "../types/ids.js";
import type { Heartbeat, Message, PeerMessage } from "../types/messages.js";
import { createWorld, type World } from "../world.js";

const holder = brand<Incarnation>("holder");
const requester = brand<Incarnation>("asker");

function heartbeatOf(incarnation: Incarnation): PeerMessage {
    const own: Heartbeat = {
        incarnation,
        address: `http://${incarnation}`,
        domain: brand<FailureDomain>("r/a"),
        sequence: 1,
        draining: false,
        configurationVersion: 0,
        oldestOpenAt: 0,
    };
    return { kind: "heartbeat", own, heard: [], leavingEndpoints: [], suspects: [], convicts: [] };
}

function from(peer: Incarnation, message: PeerMessage): Message {
    return { kind: "peer-message", from: peer, to: undefined, message };
}

function repliesToRequester(world: World, now: number): PeerMessage[] {
    const close: PeerMessage = { kind: "allowance-close", holder, epoch: 1, account: brand<AccountId>("a") };
    const effects = tick(world, now, [from(requester, close)]);
    return effects.flatMap((effect) => effect.kind === "peer-send" && effect.to === requester ? [effect.message] : []);
}

describe("a witness that receives a request to close an allowance", () => {
    const self = {
        incarnation: brand<Incarnation>("witness"),
        address: "http://w",
        domain: brand<FailureDomain>("r/b"),
    };
    const world = createWorld({ self, seed: 1, now: 0 });
    tick(world, 0, [from(holder, heartbeatOf(holder)), from(requester, heartbeatOf(requester))]);

    it("forwards the holder's heartbeat while the holder is live", () => {
        const answers = repliesToRequester(world, 2_000);
        expect(answers.map((answer) => answer.kind)).toEqual(["heartbeat"]);
        expect(answers[0]).toMatchObject({ heard: [{ incarnation: holder }] });
        expect(world.witnessed.get(holder)?.closedEpochs.size ?? 0).toBe(0);
    });

    it("closes the allowance once the holder is silent", () => {
        expect(nextTickAt(world)).toBeLessThan(10_000);
        const answers = repliesToRequester(world, 10_000);
        expect(answers.map((answer) => answer.kind)).toContain("allowance-closed");
    });
});
