import {createServer, Server} from 'node:net';

const HOST = '127.0.0.1';

/** Below the range from which the system gives ports to outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 31_999;
const BLOCK_SIZE = 200;
const BLOCK_COUNT = Math.floor((LAST_PORT - FIRST_PORT) / BLOCK_SIZE);

/**
 * Ports that no other test process gets: a process holds the first port of each block that it uses
 * for as long as it lives.
 */
class PortBlocks {
  private next = 0;
  private end = 0;

  /** The next free port of the blocks of this process. */
  async take(): Promise<number> {
    for (;;) {
      if (this.next >= this.end) {
        await this.claimBlock();
      }
      const port = this.next++;
      const server = await tryListen(port);
      if (server !== undefined) {
        await close(server);
        return port;
      }
    }
  }

  private async claimBlock(): Promise<void> {
    const offset = Math.floor(Math.random() * BLOCK_COUNT);
    for (let tried = 0; tried < BLOCK_COUNT; tried++) {
      const block = (offset + tried) % BLOCK_COUNT;
      const first = FIRST_PORT + block * BLOCK_SIZE;
      const holder = await tryListen(first);
      if (holder !== undefined) {
        holder.unref();
        this.next = first + 1;
        this.end = first + BLOCK_SIZE;
        return;
      }
    }
    throw new Error('all blocks of ports are in use');
  }
}

const blocks = new PortBlocks();

/** Free loopback addresses `IP:port`, all different and never given twice to running processes. */
export async function freeAddresses(count: number): Promise<readonly string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    addresses.push(`${HOST}:${await blocks.take()}`);
  }
  return addresses;
}

function tryListen(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
