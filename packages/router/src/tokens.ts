/** Injection token of the running router. */
export const ROUTER = Symbol("router");
