import { parseArgs } from "node:util";
import { LoadGenerator } from "./load-generator.js";

const { values } = parseArgs({
    options: {
        "routers": { type: "string" },
        "credential": { type: "string" },
        "account": { type: "string", default: "account" },
        "model": { type: "string" },
        "service": { type: "string", default: "none" },
        "callers": { type: "string", default: "10" },
        "seconds": { type: "string", default: "10" },
        "max-tokens": { type: "string", default: "128" },
        "model-share": { type: "string", default: "1" },
        "seed": { type: "string", default: "1" },
    },
});
const MAX_LOAD_SECONDS = 600;
const load = new LoadGenerator({
    routers: (values.routers ?? "").split(","),
    accounts: [{
        account: values.account,
        credential: values.credential ?? "",
        model: values.model ?? "",
        service: values.service,
        lookupPath: "/",
        actionPath: "/",
        callers: Number(values.callers),
    }],
    maxTokens: Number(values["max-tokens"]),
    meanPauseMs: 10,
    modelShare: Number(values["model-share"]),
    actionShare: 0,
    timeoutMs: 60_000,
    seed: Number(values.seed),
    onLost: () => undefined,
});
load.start();
await new Promise((resolve) => setTimeout(resolve, Math.min(Number(values.seconds), MAX_LOAD_SECONDS) * 1000));
await load.stop();
const whole = load.records.filter((record) => record.result === "whole").length;
process.stdout.write(`${
    JSON.stringify({
        requests: load.records.length,
        whole,
        firstChunkMs: {
            median: load.firstChunk.getValueAtPercentile(50),
            p95: load.firstChunk.getValueAtPercentile(95),
        },
        elapsedMs: { median: load.elapsed.getValueAtPercentile(50), p95: load.elapsed.getValueAtPercentile(95) },
    })
}\n`);
