import {IncomingMessage, Server} from 'node:http';
import {connect, Socket} from 'node:net';
import {Duplex, Writable} from 'node:stream';

import {Clock} from '../../../base/common/clock.js';
import {EventLoop} from '../../../base/common/eventLoop.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {ResponseTimer} from '../../../base/node/responseTimer.js';
import {isEndOfReset} from '../../../base/node/socketEnd.js';
import {isSamePeerKey, parseAddress} from '../../rpc/node/rpc.js';
import {PEER_KEY_HEADER} from '../../rpc/node/rpcServer.js';
import {LateGate} from './lateGate.js';

/** Maximum concurrent tunnels; each holds two descriptors of this process. */
const TUNNEL_LIMIT = 400;

/** Timeout of the connection to the target, which is in the same region. */
const CONNECT_TIMEOUT_MILLISECONDS = 120;

/** Why a tunnel is refused, and the status that says so. */
const refusals = {
  unauthorized: '401 Unauthorized',
  forbidden: '403 Forbidden',
  unreachable: '502 Bad Gateway',
  full: '503 Service Unavailable',
} as const;

type Refusal = keyof typeof refusals;

/** Decides whether this instance relays connections to an address `IP:port` now. */
export type TunnelGuard = (
  address: string,
) => 'allowed' | 'forbidden' | 'unreachable' | 'full';

/** Relays connections for peers by HTTP's CONNECT method. Bytes pass unchanged; a reset on one side resets the other. */
export class TunnelServer extends DisposableOwner {
  private readonly sockets = new Set<Duplex>();
  private readonly idleListeners: Array<() => void> = [];
  private openCount = 0;

  constructor(
    private readonly peerKey: string,
    private readonly guard: TunnelGuard,
    private readonly clock: Clock,
    private readonly eventLoop: EventLoop,
  ) {
    super();
    this.register(
      toDisposable(() => this.sockets.forEach(socket => socket.destroy())),
    );
  }

  /** Serves the tunnels that peers request from an HTTP server. */
  attach(server: Server): void {
    server.on('connect', (request: IncomingMessage, peer: Duplex, head) =>
      this.accept(request, peer as Socket, head),
    );
  }

  /** Number of open tunnels. */
  get count(): number {
    return this.openCount;
  }

  /** Resolves when no tunnel is open. */
  idle(): Promise<void> {
    return new Promise(resolve => {
      this.idleListeners.push(resolve);
      this.notifyIdle();
    });
  }

  private accept(request: IncomingMessage, peer: Socket, head: Buffer): void {
    peer.on('error', () => peer.destroy());
    const refusal = this.refusalOf(request);
    if (refusal !== undefined) {
      refuse(peer, refusal);
      return;
    }
    this.openCount++;
    const {host, port} = parseAddress(request.url ?? '');
    const target = connect({host, port, noDelay: true});
    const timer = new ResponseTimer(CONNECT_TIMEOUT_MILLISECONDS, () =>
      target.destroy(new Error('connection timeout')),
    );
    target.once('connect', () => {
      timer.dispose();
      this.join(peer, target, head);
    });
    target.once('error', () => {
      timer.dispose();
      refuse(peer, 'unreachable');
    });
    target.once('close', () => this.release(peer, target));
    this.sockets.add(peer).add(target);
  }

  private refusalOf(request: IncomingMessage): Refusal | undefined {
    const presented = request.headers[PEER_KEY_HEADER];
    const key = Array.isArray(presented) ? presented[0] : presented;
    if (!isSamePeerKey(key, this.peerKey)) {
      return 'unauthorized';
    }
    if (this.openCount >= TUNNEL_LIMIT) {
      return 'full';
    }
    const decision = this.guard(request.url ?? '');
    return decision === 'allowed' ? undefined : decision;
  }

  private join(peer: Socket, target: Socket, head: Buffer): void {
    if (peer.destroyed) {
      target.destroy();
      return;
    }
    peer.setNoDelay(true);
    peer.write('HTTP/1.1 200 Connection Established\r\n\r\n');
    target.removeAllListeners('error');
    const gate = new LateGate(
      this.clock,
      this.eventLoop,
      () => peer.readableEnded || peer.destroyed,
    );
    if (head.length > 0) {
      gate.write(head);
    }
    gate.pipe(target);
    pass(peer, target, gate);
    pass(target, peer, peer);
  }

  private release(peer: Socket, target: Socket): void {
    this.openCount--;
    this.sockets.delete(peer);
    this.sockets.delete(target);
    this.notifyIdle();
  }

  private notifyIdle(): void {
    if (this.openCount === 0) {
      this.idleListeners.splice(0).forEach(listener => listener());
    }
  }
}

/**
 * Passes bytes on, and how the connection ends: a reset is passed on as a reset, and an end as an end.
 * @param way what leads to the destination
 */
function pass(source: Socket, destination: Socket, way: Writable): void {
  let hasFailed = false;
  const passReset = (): void => {
    hasFailed = true;
    destination.resetAndDestroy();
  };
  source.on('error', passReset);
  source.once('end', () => {
    if (isEndOfReset(source)) {
      passReset();
    } else {
      way.end();
    }
  });
  source.once('close', () => {
    if (!hasFailed && !destination.destroyed) {
      destination.destroySoon();
    }
  });
  source.pipe(way, {end: false});
}

function refuse(peer: Socket, refusal: Refusal): void {
  if (!peer.destroyed) {
    peer.end(`HTTP/1.1 ${refusals[refusal]}\r\nconnection: close\r\n\r\n`);
  }
}
