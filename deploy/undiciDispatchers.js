// Exports the parts of undici that the router uses; loading the whole library takes a quarter of the start-up time.
export {default as Agent} from 'undici/lib/dispatcher/agent.js';
export {default as Client} from 'undici/lib/dispatcher/client.js';
export {default as Pool} from 'undici/lib/dispatcher/pool.js';
export {default as buildConnector} from 'undici/lib/core/connect.js';
