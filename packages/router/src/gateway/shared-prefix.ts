/** Prefix of the keys by which routers tell all others something; one watch covers them. */
export const SHARED_PREFIX = "gooseberrybend/shared/";
