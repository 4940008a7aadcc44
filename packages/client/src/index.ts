export { GooseberrybendClient } from "./client.js";
export type {
    CallFailure,
    CallOutcome,
    ClientSettings,
    ModelAnswer,
    ModelCall,
    ServiceAnswer,
    ServiceCall,
} from "./types.js";
