import {connect} from 'node:net';

import {parseAddress} from '../../../infrastructure/rpc/node/rpc.js';
import {ConnectionTest, ConnectionTester} from '../common/connectionTester.js';

/** Timeout of a direct connection; inside a region one takes a few milliseconds. */
const TIMEOUT_MILLISECONDS = 120;

/** Opens a TCP connection for each test, and closes it at once. */
export class DirectConnectionTester extends ConnectionTester {
  override test(address: string): Promise<ConnectionTest> {
    const {host, port} = parseAddress(address);
    return new Promise(resolve => {
      const socket = connect({host, port});
      const finish = (result: ConnectionTest): void => {
        clearTimeout(timer);
        socket.destroy();
        resolve(result);
      };
      const timer = setTimeout(() => finish('noAnswer'), TIMEOUT_MILLISECONDS);
      socket.once('connect', () => finish('connected'));
      socket.once('error', (error: NodeJS.ErrnoException) =>
        finish(error.code === 'ECONNREFUSED' ? 'refused' : 'noAnswer'),
      );
    });
  }
}
