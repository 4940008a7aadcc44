export { resetDetectingConnector } from "./reset-detection.js";
