import {AddressInfo, Server} from 'node:net';

/** A free port of the loopback address, which the operating system chooses. */
export const ANY_LOCAL_ADDRESS = '127.0.0.1:0';

/** The address `IP:port` at which a server listens. */
export function addressOf(server: Server): string {
  const {address, port} = server.address() as AddressInfo;
  return `${address}:${port}`;
}
