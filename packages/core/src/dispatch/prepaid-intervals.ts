/** Bounds in ms of the time between checkpoints; tokens a router may use after its last one are lost if it crashes. */
const CHECKPOINT_INTERVAL_RANGE_MS = [600, 1_500] as const;
/** Interval in ms that each holder adds: about seven checkpoints a second in all, for up to ten holders. */
const CHECKPOINT_MS_PER_HOLDER = 150;
/** Bounds in ms of the time between reviews of which allowances have to change. */
const REVIEW_INTERVAL_RANGE_MS = [1_000, 2_000] as const;
/** Interval in ms that each holder adds, because records with many writers have more write conflicts. */
const REVIEW_MS_PER_HOLDER = 200;

/** Returns the time in ms between two spending checkpoints of a router, for the number of routers holding tokens. */
export function checkpointIntervalMs(holders: number): number {
    return clamp(CHECKPOINT_INTERVAL_RANGE_MS, holders * CHECKPOINT_MS_PER_HOLDER);
}

/** Time in ms that machines are mostly without power until their routers start again, with the margin for clocks. */
const POWER_LOSS_MS = 1_400;

/** Returns the time in ms after a checkpoint in which routers without power are mostly back. */
export function checkpointStepMs(holders: number): number {
    return checkpointIntervalMs(holders) + POWER_LOSS_MS;
}

/** Returns the time in ms between two reviews of a router's allowances, for the number of routers holding tokens. */
export function reviewIntervalMs(holders: number): number {
    return clamp(REVIEW_INTERVAL_RANGE_MS, holders * REVIEW_MS_PER_HOLDER);
}

/** Maximum pause in ms after a first conflict, about the duration of a write; doubles with each consecutive one. */
const BASE_CONFLICT_PAUSE_MS = 10;
const MAX_CONFLICT_PAUSE_MS = 160;

/** Returns the pause in ms before retrying a write that conflicted with another router's; chance is in [0, 1). */
export function conflictPauseMs(conflicts: number, chance: number): number {
    return chance * Math.min(MAX_CONFLICT_PAUSE_MS, BASE_CONFLICT_PAUSE_MS * 2 ** conflicts);
}

function clamp([min, max]: readonly [number, number], value: number): number {
    return Math.min(max, Math.max(min, value));
}
