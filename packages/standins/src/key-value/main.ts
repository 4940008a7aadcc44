import { createRandom, randomFraction } from "@gooseberrybend/core";
import { parseArgs } from "node:util";
import { KeyValueServer } from "./key-value-server.js";

const { values } = parseArgs({ options: { port: { type: "string" }, seed: { type: "string", default: "1" } } });
const random = createRandom(Number(values.seed));
await new KeyValueServer(() => randomFraction(random)).listen(Number(values.port));
