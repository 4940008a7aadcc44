/** Prefix of the keys that routers write for all other routers; one watch covers them. */
export const SHARED_PREFIX = "gooseberrybend/shared/";
