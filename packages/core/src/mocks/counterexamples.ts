import type { FleetEvent, Schedule } from "./schedule.js";

/** A schedule that violated an invariant before a fix, named after the fault. */
export type Counterexample = { readonly name: string; readonly schedule: Schedule; };

function burst(at: number, account: number, count: number, impatient = false): FleetEvent {
    return { kind: "burst", at, account, count, impatient };
}

function actions(at: number, account: number, count: number, impatient = false): FleetEvent {
    return { kind: "actions", at, account, count, impatient };
}

/** Schedules found by the fuzzer, minimized as far as it could. */
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
    {
        name: "a router that woke offered waiting uses again on a smaller allowance",
        schedule: {
            seed: 999996,
            events: [
                { "kind": "burst", "at": 8811, "account": 5, "count": 20, "impatient": true },
                { "kind": "actions", "at": 2939, "account": 0, "count": 22, "impatient": false },
                { "kind": "burst", "at": 9, "account": 5, "count": 24, "impatient": true },
                { "kind": "burst", "at": 1241, "account": 2, "count": 23, "impatient": true },
                { "kind": "actions", "at": 8285, "account": 2, "count": 17, "impatient": true },
                { "kind": "burst", "at": 12698, "account": 5, "count": 4, "impatient": false },
                { "kind": "burst", "at": 13230, "account": 3, "count": 22, "impatient": true },
                { "kind": "actions", "at": 13995, "account": 2, "count": 11, "impatient": false },
                { "kind": "actions", "at": 2511, "account": 3, "count": 2, "impatient": false },
                { "kind": "actions", "at": 9934, "account": 5, "count": 22, "impatient": false },
                { "kind": "poison", "at": 5212, "account": 1 },
                { "kind": "pause", "at": 153, "router": 5, "time": 10492 },
                { "kind": "top-up", "at": 4425, "account": 4, "tokens": 267 },
                { "kind": "top-up", "at": 7695, "account": 2, "tokens": 1052 },
            ],
        },
    },
    {
        name: "two routers that had lent to each other died together",
        schedule: {
            seed: 270381,
            events: [
                { "kind": "burst", "at": 2914, "account": 5, "count": 2, "impatient": true },
                { "kind": "burst", "at": 3761, "account": 3, "count": 7, "impatient": false },
                { "kind": "burst", "at": 1470, "account": 3, "count": 9, "impatient": false },
                { "kind": "key-value-slow", "at": 8070, "time": 9286, "slowMs": 245 },
                { "kind": "kill", "at": 4695, "router": 2, "backAfter": 4050 },
                { "kind": "key-value-down", "at": 2145, "time": 5567 },
                { "kind": "kill", "at": 8556, "router": 0, "backAfter": 976 },
            ],
        },
    },
    {
        name: "a transfer was applied again after its mark was pruned",
        schedule: {
            seed: 831299,
            events: [
                { "kind": "burst", "at": 198, "account": 5, "count": 11, "impatient": false },
                { "kind": "actions", "at": 8780, "account": 3, "count": 8, "impatient": true },
                { "kind": "burst", "at": 13080, "account": 2, "count": 21, "impatient": true },
                { "kind": "burst", "at": 12787, "account": 0, "count": 17, "impatient": false },
                { "kind": "actions", "at": 11793, "account": 5, "count": 8, "impatient": true },
                { "kind": "burst", "at": 6650, "account": 0, "count": 12, "impatient": false },
                { "kind": "burst", "at": 1626, "account": 1, "count": 19, "impatient": false },
                { "kind": "actions", "at": 8560, "account": 0, "count": 24, "impatient": true },
                { "kind": "actions", "at": 263, "account": 2, "count": 16, "impatient": false },
                { "kind": "burst", "at": 3703, "account": 5, "count": 3, "impatient": true },
                { "kind": "burst", "at": 2977, "account": 0, "count": 5, "impatient": false },
                { "kind": "actions", "at": 626, "account": 0, "count": 14, "impatient": false },
                { "kind": "key-value-down", "at": 4030, "time": 7726 },
                { "kind": "late-writes", "at": 4515, "time": 5247, "share": 0.1 },
            ],
        },
    },
];
