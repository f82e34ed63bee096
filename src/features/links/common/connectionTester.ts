/** What an address did with a new connection. */
export type ConnectionTest =
  | 'connected'
  /** Its host answered that no process listens there. */
  | 'refused'
  /** No answer within the timeout, or a failure that tells nothing about the process. */
  | 'noAnswer';

/** Port: tests whether this instance itself connects to an address. */
export abstract class ConnectionTester {
  /** @param address `IP:port` */
  abstract test(address: string): Promise<ConnectionTest>;
}
