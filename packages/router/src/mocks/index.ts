export { type LoopbackAddress, reserveLoopbackAddress } from "./loopback-address.js";
