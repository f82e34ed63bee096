import {request} from 'node:http';
import {Socket} from 'node:net';

import {failure, Result, success} from '../../../base/common/result.js';
import {ResponseTimer} from '../../../base/node/responseTimer.js';
import {PEER_KEY_HEADER} from '../../rpc/node/rpcServer.js';

/** Opens connections through a peer by HTTP's CONNECT method. */

const SUCCESS_STATUS = 200;

/** The connection that a tunnel leads to, and who relays it; addresses are `IP:port`. */
export interface TunnelRequest {
  readonly relayAddress: string;
  readonly targetAddress: string;
  readonly peerKey: string;
  readonly milliseconds: number;
}

/** Opens a tunnel; resolves with its socket or with why there is none. Nothing was sent to the target in that case. */
export function openTunnel({
  relayAddress,
  targetAddress,
  peerKey,
  milliseconds,
}: TunnelRequest): Promise<Result<Socket, string>> {
  return new Promise(resolve => {
    const outgoing = request(`http://${relayAddress}`, {
      method: 'CONNECT',
      path: targetAddress,
      headers: {[PEER_KEY_HEADER]: peerKey},
      agent: false,
    });
    const fail = (detail: string): void => {
      timer.dispose();
      outgoing.destroy();
      resolve(failure(detail));
    };
    const timer = new ResponseTimer(milliseconds, () => fail('timeout'));
    outgoing.once('connect', (response, socket, head) => {
      if (response.statusCode !== SUCCESS_STATUS) {
        socket.destroy();
        fail(`status ${response.statusCode}`);
        return;
      }
      timer.dispose();
      if (head.length > 0) {
        socket.unshift(head);
      }
      socket.setNoDelay(true);
      resolve(success(socket));
    });
    outgoing.once('error', error => fail(error.message));
    outgoing.end();
  });
}
