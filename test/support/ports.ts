import {createServer, Server} from 'node:net';

const HOST = '127.0.0.1';

/** Free loopback addresses `IP:port`; held together while they are chosen, so that all differ. */
export async function freeAddresses(count: number): Promise<readonly string[]> {
  const servers = await Promise.all(Array.from({length: count}, listen));
  const addresses = servers.map(server => {
    const address = server.address();
    const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
    return `${HOST}:${port}`;
  });
  await Promise.all(servers.map(close));
  return addresses;
}

function listen(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, HOST, () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
