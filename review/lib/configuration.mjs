// The operator's configuration of a small deployment: a model service and a plain service.
import { HOST } from "./deployment.mjs";

export const MODEL = { name: "models", healthPath: "/healthz", maxConnections: 360, protocol: "h1", tls: false };
export const PLAIN = { name: "records", healthPath: "/healthz", maxConnections: 96, protocol: "h1", tls: false };
export const STRIDE = 5;

const engine = {
    slots: 64,
    kvCapacityTokens: 518475,
    kvTokenBytes: 163840,
    linkMbps: 740000,
    stride: STRIDE,
    models: [{ name: "m" }],
};

export const routes = {
    note: {
        name: "r-note",
        host: HOST,
        prefix: "/note/",
        kind: "streaming",
        timeoutMs: 12000,
        targetLatencyMs: 300,
        priority: 0,
        service: MODEL.name,
        maxAttempts: 2,
        public: false,
        sticky: true,
        resumable: true,
        gapAimMs: 200,
    },
    order: {
        name: "r-order",
        host: HOST,
        prefix: "/order/",
        kind: "unsafe",
        timeoutMs: 1200,
        targetLatencyMs: 150,
        priority: 2,
        service: PLAIN.name,
        maxAttempts: 1,
        public: false,
    },
    read: {
        name: "r-read",
        host: HOST,
        prefix: "/read/",
        kind: "safe",
        timeoutMs: 1200,
        targetLatencyMs: 150,
        priority: 2,
        service: PLAIN.name,
        maxAttempts: 2,
        public: false,
    },
};

/** Writes the first configuration. `prepaid` is the total of each tenant. */
export function writeConfiguration(store, { tenants = 1, prepaid = 10_000_000 } = {}) {
    store.put("op/config", {
        version: 7,
        routes: Object.values(routes),
        services: [{ ...MODEL, engine }, PLAIN],
        limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
        tenants: Array.from({ length: tenants }, (unused, index) => ({
            name: `tenant${index}`,
            apiKeys: [`key${index}`],
            prepaid,
        })),
    });
}
