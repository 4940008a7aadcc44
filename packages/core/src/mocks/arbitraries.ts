import fc from "fast-check";
import type { FleetEvent, Schedule } from "./schedule.js";

const at = fc.integer({ min: 0, max: 14_000 });
const time = fc.integer({ min: 100, max: 12_000 });
const index = fc.integer({ min: 0, max: 5 });
const share = fc.constantFrom(0.1, 0.3, 0.6);
const count = fc.integer({ min: 1, max: 25 });
const impatient = fc.boolean();

const load: fc.Arbitrary<FleetEvent> = fc.oneof(
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("burst" as const), at, account: index, count, impatient }) },
    {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constant("actions" as const), at, account: index, count, impatient }),
    },
);

const fault: fc.Arbitrary<FleetEvent> = fc.oneof(
    fc.record({
        kind: fc.constant("kill" as const),
        at,
        router: index,
        backAfter: fc.integer({ min: 100, max: 5_000 }),
    }),
    fc.record({ kind: fc.constant("pause" as const), at, router: index, time }),
    fc.record({ kind: fc.constant("isolate" as const), at, router: index, time }),
    fc.record({ kind: fc.constant("without-key-value" as const), at, router: index, time }),
    fc.record({ kind: fc.constant("key-value-down" as const), at, time }),
    fc.record({ kind: fc.constant("key-value-slow" as const), at, time, slowMs: fc.integer({ min: 10, max: 800 }) }),
    fc.record({ kind: fc.constant("lost-replies" as const), at, time, share }),
    fc.record({ kind: fc.constant("late-writes" as const), at, time, share }),
    fc.record({
        kind: fc.constant("top-up" as const),
        at,
        account: index,
        tokens: fc.integer({ min: 50, max: 3_000 }),
    }),
    fc.record({ kind: fc.constant("crash" as const), at, endpoint: index }),
    fc.record({ kind: fc.constant("silence" as const), at, endpoint: index }),
    fc.record({ kind: fc.constant("leave" as const), at, endpoint: index }),
    fc.record({ kind: fc.constant("poison" as const), at, account: index }),
    fc.record({ kind: fc.constant("drain" as const), at, router: index }),
    fc.record({ kind: fc.constant("publish" as const), at }),
);

const policy = fc.constantFrom({}, { polledEndpoints: 0 }, {
    polledEndpoints: 0,
    heartbeatFanout: 1,
    heartbeatEntries: 1,
});
const skewMs = fc.constantFrom(0, 0, 3_000, 90_000);

/** Random schedules: request load with up to seven faults or operator actions. */
export const schedules: fc.Arbitrary<Schedule> = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    policy,
    skewMs,
    events: fc.tuple(fc.array(load, { minLength: 3, maxLength: 12 }), fc.array(fault, { minLength: 0, maxLength: 7 }))
        .map(([loads, faults]) => [...loads, ...faults]),
});
