// Replaces undici in the bundle and exports only the parts that the program uses. The complete library would also load
// its fetch implementation, caches and WebSocket support at each start.

import api from "../../node_modules/undici/lib/api/index.js";
import buildConnector from "../../node_modules/undici/lib/core/connect.js";
import Agent from "../../node_modules/undici/lib/dispatcher/agent.js";
import Client from "../../node_modules/undici/lib/dispatcher/client.js";
import Dispatcher from "../../node_modules/undici/lib/dispatcher/dispatcher.js";
import Pool from "../../node_modules/undici/lib/dispatcher/pool.js";

Object.assign(Dispatcher.prototype, api);

export { Agent, buildConnector, Client, Dispatcher, Pool };
