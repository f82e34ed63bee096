import {createServer, Server} from 'node:net';

const HOST = '127.0.0.1';

/** The range lies below the ephemeral ports, which the operating system assigns to outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 31_999;
const BLOCK_SIZE = 200;
const BLOCK_COUNT = Math.floor((LAST_PORT - FIRST_PORT) / BLOCK_SIZE);

/** Second part of the first host group. */
const FIRST_HOST_GROUP = 10;

/**
 * Allocates ports that no other test process allocates. A process reserves a block of ports by listening on the
 * first port of the block until it exits.
 */
class PortAllocator {
  private nextPort = 0;
  private end = 0;
  private blockIndex = 0;
  private hostGroupCount = 0;

  /** Returns the next free port of the reserved block; reserves a new block when it is used up. */
  async allocate(): Promise<number> {
    for (;;) {
      if (this.nextPort >= this.end) {
        await this.reserveBlock();
      }
      const port = this.nextPort++;
      const server = await tryListen(port);
      if (server !== undefined) {
        await closeServer(server);
        return port;
      }
    }
  }

  /** Returns the first three parts of loopback addresses that nobody else has been given. */
  async allocateHostGroup(): Promise<string> {
    if (this.end === 0) {
      await this.reserveBlock();
    }
    const group = FIRST_HOST_GROUP + this.hostGroupCount++;
    return `127.${group}.${this.blockIndex}`;
  }

  private async reserveBlock(): Promise<void> {
    const offset = Math.floor(Math.random() * BLOCK_COUNT);
    for (let attempt = 0; attempt < BLOCK_COUNT; attempt++) {
      const block = (offset + attempt) % BLOCK_COUNT;
      const first = FIRST_PORT + block * BLOCK_SIZE;
      const reservation = await tryListen(first);
      if (reservation !== undefined) {
        reservation.unref();
        this.nextPort = first + 1;
        this.end = first + BLOCK_SIZE;
        this.blockIndex = block;
        return;
      }
    }
    throw new Error(
      'no free block of ports: all blocks are reserved by running processes',
    );
  }
}

const portAllocator = new PortAllocator();

/** Allocates distinct free loopback addresses `IP:port` that no other running test process has allocated. */
export async function freeAddresses(count: number): Promise<readonly string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    addresses.push(`${HOST}:${await portAllocator.allocate()}`);
  }
  return addresses;
}

/**
 * Allocates loopback hosts for programs that listen on a fixed port: the first three parts of their addresses, which no
 * other running test process has allocated.
 */
export function freeHostGroup(): Promise<string> {
  return portAllocator.allocateHostGroup();
}

function tryListen(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
