import type { FleetEvent, Schedule } from "./schedule.js";

/** A schedule that once broke a rule, and what it was about. */
export type Counterexample = { readonly name: string; readonly schedule: Schedule; };

function burst(at: number, account: number, count: number, impatient = false): FleetEvent {
    return { kind: "burst", at, account, count, impatient };
}

function actions(at: number, account: number, count: number, impatient = false): FleetEvent {
    return { kind: "actions", at, account, count, impatient };
}

/** Schedules that the fuzzer found, made as short as it could. */
export const counterexamples: readonly Counterexample[] = [
    {
        name: "borrowed tokens were lent on before the ledger had them",
        schedule: {
            seed: 224_695,
            events: [
                burst(2_465, 3, 15, true),
                actions(1_501, 0, 1),
                burst(1_938, 1, 8, true),
                burst(0, 1, 5),
                { kind: "poison", at: 2_646, account: 0 },
                { kind: "lost-replies", at: 2_622, time: 100, share: 0.1 },
                { kind: "poison", at: 2_650, account: 0 },
            ],
        },
    },
    {
        name: "a leaving endpoint that had not been probed got work",
        schedule: { seed: 999_991, events: [burst(8_114, 1, 7), { kind: "leave", at: 5, endpoint: 5 }] },
    },
    {
        name: "both routers that had a bill died within 8 ms",
        schedule: {
            seed: 331_198,
            events: [
                actions(13_177, 0, 12, true),
                { kind: "kill", at: 14_000, router: 2, backAfter: 2_357 },
                { kind: "kill", at: 13_992, router: 4, backAfter: 4_995 },
                { kind: "isolate", at: 4_318, router: 0, time: 11_995 },
            ],
        },
    },
    {
        name: "a witness billed what was paid with a transfer not yet written",
        schedule: {
            seed: 110_941,
            events: [
                burst(11_115, 2, 21, true),
                burst(2_274, 5, 14, true),
                burst(10_049, 4, 7, true),
                actions(4_304, 2, 15, true),
                { kind: "key-value-down", at: 8_078, time: 10_324 },
            ],
        },
    },
    {
        name: "a router that woke lent tokens that had been returned",
        schedule: {
            seed: 182_557,
            events: [
                actions(7_951, 4, 24),
                burst(11_511, 5, 11),
                burst(7_435, 3, 20, true),
                burst(11_296, 4, 5, true),
                actions(8_101, 4, 22),
                burst(7_055, 3, 19),
                burst(114, 2, 2),
                actions(3_167, 5, 6),
                burst(284, 5, 17, true),
                burst(9_153, 2, 23, true),
                { kind: "publish", at: 6_762 },
                { kind: "pause", at: 4_259, router: 5, time: 10_152 },
            ],
        },
    },
    {
        name: "a transfer was applied again after its receiver's entry had been returned",
        schedule: {
            seed: 695_570,
            events: [
                burst(19, 5, 22),
                burst(663, 1, 9, true),
                burst(10_113, 2, 3),
                burst(13_993, 5, 11, true),
                burst(4_696, 1, 21, true),
                actions(8_000, 2, 22),
                { kind: "key-value-down", at: 3_739, time: 7_384 },
                { kind: "late-writes", at: 8_047, time: 8_540, share: 0.3 },
                { kind: "isolate", at: 2_926, router: 2, time: 11_205 },
                { kind: "lost-replies", at: 2_452, time: 9_519, share: 0.3 },
            ],
        },
    },
];
