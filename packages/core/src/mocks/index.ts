export { memberOf } from "../dispatch/mocks/fleet-members.js";
export { allowedInWindow, INFORMED_AFTER_MS, maxInWindow, STABILITY_WINDOW_MS } from "../dispatch/mocks/limit-rule.js";
export { schedules } from "./arbitraries.js";
export type { RequestPlan, RequestRecord } from "./fake-callers.js";
export { FakeFleet, type FleetOptions } from "./fake-fleet.js";
export type { FakeRouter } from "./fake-routers.js";
export type { FleetVerdict } from "./fleet-checker.js";
export { CoreStrategy, RouterStrategy } from "./router-strategy.js";
export { type FleetEvent, runSchedule, type Schedule, type ScheduleResult } from "./schedule.js";
