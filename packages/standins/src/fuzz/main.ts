import { type FleetEvent, runSchedule, type Schedule, schedules } from "@gooseberrybend/core/mocks";
import fc from "fast-check";
import { parseArgs } from "node:util";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        runs: { type: "string", default: "1000" },
        replay: { type: "string" },
    },
});

process.exitCode = values.replay === undefined ? searchViolations() : replay(JSON.parse(values.replay) as Schedule);

function searchViolations(): number {
    const startedAt = Date.now();
    const property = fc.property(schedules, (schedule) => runSchedule(schedule).violations.length === 0);
    const result = fc.check(property, { seed: Number(values.seed), numRuns: Number(values.runs), endOnFailure: true });
    const seconds = ((Date.now() - startedAt) / 1000).toFixed(1);
    process.stdout.write(`${result.numRuns} schedules with seed ${values.seed} in ${seconds} s\n`);
    const example = result.counterexample?.[0];
    if (example === undefined) {
        process.stdout.write("no invariant was violated\n");
        return 0;
    }
    process.stdout.write(`${JSON.stringify(minimize(example))}\n`);
    return replay(example);
}

// Removes events one by one as long as an invariant is still violated without them.
function minimize(schedule: Schedule): Schedule {
    let events: readonly FleetEvent[] = schedule.events;
    for (let index = 0; index < events.length;) {
        const remainingEvents = events.filter((unused, other) => other !== index);
        if (runSchedule({ ...schedule, events: remainingEvents }).violations.length > 0) {
            events = remainingEvents;
        }
        else {
            index++;
        }
    }
    return { ...schedule, events };
}

function replay(schedule: Schedule): number {
    const result = runSchedule(schedule);
    for (const violation of result.violations) {
        process.stdout.write(`violated: ${violation}\n`);
    }
    process.stdout.write(`${JSON.stringify(result.verdict)}\n`);
    return result.violations.length === 0 ? 0 : 1;
}
