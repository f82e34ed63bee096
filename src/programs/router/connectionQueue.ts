import {Socket} from 'node:net';

import {Clock} from '../../base/common/clock.js';
import {EventLoop, isLoopLate} from '../../base/common/eventLoop.js';
import {ArrivalQueue} from '../../features/forwarding/common/arrivalQueue.js';

/**
 * Hands connections of callers to the HTTP server: at once, or, after the event loop was late, one by one and the newest first. To accept
 * a connection takes far less time than to read its request, so a process that has little time reads requests of callers who still wait.
 */
export class ConnectionQueue {
  private readonly turns: ArrivalQueue;
  private readonly waiting = new Set<Socket>();
  private readonly connectedAfter = new WeakMap<Socket, number>();

  constructor(
    private readonly clock: Clock,
    private readonly eventLoop: EventLoop,
    private readonly handOver: (socket: Socket) => void,
  ) {
    this.turns = new ArrivalQueue(eventLoop);
  }

  /** Adds a connection that was accepted and is not read yet. */
  add(socket: Socket): void {
    const mayHaveWaited = isLoopLate(this.clock, this.eventLoop);
    const turn = this.turns.turn(mayHaveWaited, () => socket.destroyed);
    if (turn === undefined) {
      this.handOver(socket);
      return;
    }
    this.connectedAfter.set(socket, this.eventLoop.readUntil);
    this.waiting.add(socket);
    void turn.then(() => this.release(socket));
  }

  /** Monotonic milliseconds after which a connection that waited was opened, for its first request; else undefined. */
  takeConnectedAfter(socket: Socket): number | undefined {
    const moment = this.connectedAfter.get(socket);
    this.connectedAfter.delete(socket);
    return moment;
  }

  /** Hands all connections over that still wait. */
  releaseAll(): void {
    [...this.waiting].forEach(socket => this.release(socket));
  }

  /** Closes all connections that still wait. */
  closeAll(): void {
    this.waiting.forEach(socket => socket.destroy());
    this.waiting.clear();
  }

  private release(socket: Socket): void {
    if (this.waiting.delete(socket)) {
      this.handOver(socket);
    }
  }
}
