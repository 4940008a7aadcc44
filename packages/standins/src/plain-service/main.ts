import { parseArgs } from "node:util";
import { PlainService } from "./service.js";

const { values } = parseArgs({
    options: {
        port: { type: "string" },
        slots: { type: "string", default: "32" },
        "work-ms": { type: "string", default: "20" },
    },
});
await new PlainService(Number(values.slots), Number(values["work-ms"])).listen(Number(values.port));
