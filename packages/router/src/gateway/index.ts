export * from "./dialect.js";
export { type GatewaySettings, gatewaySettingsSchema, readGatewaySettings, regionTableOf } from "./gateway-settings.js";
export { Gateway } from "./gateway.js";
export * from "./metadata-store.js";
export { requestText } from "./request-text.js";
export { type GatewayParts, runGateway } from "./run-gateway.js";
