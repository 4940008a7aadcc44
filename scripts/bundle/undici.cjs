// The parts of undici that the router uses. The package's index also loads fetch, WebSocket and caches.
"use strict";
const Agent = require("undici/lib/dispatcher/agent.js");
const Pool = require("undici/lib/dispatcher/pool.js");
const buildConnector = require("undici/lib/core/connect.js");
const dispatch = require("undici/lib/api/api-request.js");
const util = require("undici/lib/core/util.js");

function request(url, { dispatcher, ...options }) {
    const { origin, pathname, search } = util.parseURL(url);
    return dispatch.call(dispatcher, { ...options, origin, path: `${pathname}${search}` });
}

module.exports = { Agent, Pool, buildConnector, request };
