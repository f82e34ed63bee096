import {connect} from 'node:net';

import {ResponseTimer} from '../../../base/node/responseTimer.js';
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
        timer.dispose();
        socket.destroy();
        resolve(result);
      };
      const timer = new ResponseTimer(TIMEOUT_MILLISECONDS, () =>
        finish('noAnswer'),
      );
      socket.once('connect', () => finish('connected'));
      socket.once('error', (error: NodeJS.ErrnoException) =>
        finish(error.code === 'ECONNREFUSED' ? 'refused' : 'noAnswer'),
      );
    });
  }
}
