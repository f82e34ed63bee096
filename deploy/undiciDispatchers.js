// The parts of the HTTP client that the router uses; the whole of it takes a quarter of the start to load.
export {default as Agent} from 'undici/lib/dispatcher/agent.js';
export {default as Client} from 'undici/lib/dispatcher/client.js';
export {default as Pool} from 'undici/lib/dispatcher/pool.js';
export {default as buildConnector} from 'undici/lib/core/connect.js';
