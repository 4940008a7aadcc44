export { type CommandFailure, exitCodes, formatFailure } from "./failure.js";
export { type BudgetFigures, budgetFigures, readBills, readLedger, releaseHolder } from "./operations/budgets.js";
export { type CollectedFiles, collectFiles } from "./operations/collect.js";
export { publish, type PublishReport, type PublishRequest } from "./operations/publish.js";
export { listRegisteredRouters, OperatorClient, type RouterStatus } from "./operations/routers.js";
export { topUp, type TopUpReport } from "./operations/top-up.js";
