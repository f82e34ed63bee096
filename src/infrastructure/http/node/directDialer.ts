import {buildConnector} from 'undici';

import {toDisposable} from '../../../base/common/lifecycle.js';
import {Dialer} from './dialer.js';

/** Maximum time of a connection attempt; each request has a shorter timeout of its own. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Connects to the addresses themselves, always. */
export class DirectDialer extends Dialer {
  override readonly connect = buildConnector({
    timeout: CONNECT_TIMEOUT_MILLISECONDS,
  });

  override readonly onDidChangeWay = () => toDisposable(() => undefined);
}
