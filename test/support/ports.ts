import {randomInt} from 'node:crypto';
import {createServer, Server} from 'node:net';

const HOST = '127.0.0.1';

/** Below the ports that systems give to outgoing connections, which could take one before it is used. */
const LOWEST_PORT = 10_000;
const HIGHEST_PORT = 32_000;
const TRIES = 100;

/** Free loopback addresses `IP:port`; held together while they are chosen, so that all differ. */
export async function freeAddresses(count: number): Promise<readonly string[]> {
  const servers: Server[] = [];
  const addresses: string[] = [];
  while (addresses.length < count) {
    const {server, port} = await listenSomewhere();
    servers.push(server);
    addresses.push(`${HOST}:${port}`);
  }
  await Promise.all(servers.map(close));
  return addresses;
}

async function listenSomewhere(): Promise<{server: Server; port: number}> {
  for (let count = 0; count < TRIES; count++) {
    const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
    const server = await listen(port);
    if (server !== undefined) {
      return {server, port};
    }
  }
  throw new Error(`no free port found in ${TRIES} tries`);
}

/** Undefined when the port is taken. */
function listen(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
