export { readModelRequest } from "./callers/model-request.js";
export type { BudgetReport, EndpointReport, RouterReport, TraceReport } from "./operators/router-report.js";
export { EtcdStore } from "./platform/etcd-store.js";
export { HttpInstanceList, InstanceList, type ListedInstance, StaticInstanceList } from "./platform/instance-list.js";
export { type KeyValueEntry, KeyValueStore, type WatchHandle } from "./platform/key-value-store.js";
export { Router } from "./router.js";
export { type RunningRouter, startRouter } from "./server.js";
export { readSettings, readTextFile, type Settings, settingsSchema } from "./settings.js";
