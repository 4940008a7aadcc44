import { parseArgs } from "node:util";
import { Engine } from "./engine.js";

const { values } = parseArgs({
    options: {
        port: { type: "string" },
        slots: { type: "string", default: "16" },
        "first-token-ms": { type: "string", default: "30" },
        "token-ms": { type: "string", default: "10" },
        "report-lag-ms": { type: "string", default: "300" },
    },
});
const engine = new Engine({
    slots: Number(values.slots),
    firstTokenMs: Number(values["first-token-ms"]),
    tokenMs: Number(values["token-ms"]),
    reportLagMs: Number(values["report-lag-ms"]),
});
await engine.listen(Number(values.port));
