export { memberOf } from "../dispatch/mocks/fleet-members.js";
export { schedules } from "./arbitraries.js";
export { CoreStrategy, RouterBrain } from "./brain.js";
export type { RequestPlan, RequestRecord } from "./fake-callers.js";
export { FakeFleet, type FleetOptions } from "./fake-fleet.js";
export type { FakeRouter } from "./fake-routers.js";
export type { FleetVerdict } from "./fleet-judge.js";
export { type FleetEvent, runSchedule, type Schedule, type ScheduleResult } from "./schedule.js";
