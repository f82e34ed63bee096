/** Signals that the programs handle, so that none of them ends a process by its default action. */
const HANDLED_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/** The name of a handled signal. SIGTERM and SIGINT stop a program, SIGHUP doesn't. */
export type HandledSignal = (typeof HANDLED_SIGNALS)[number];

/** A signal and when it was received, in milliseconds since the start of the process. */
export interface ReceivedSignal {
  readonly signal: HandledSignal;
  readonly receivedAt: number;
}

/** The source of signals; in the programs, `process`. */
export interface SignalSource {
  on(signal: HandledSignal, listener: () => void): unknown;
}

/** Receives the signals of the process from its construction on and keeps them until a listener is set. */
export class ProcessSignals {
  private readonly kept: ReceivedSignal[] = [];
  private listener: ((received: ReceivedSignal) => void) | undefined;

  constructor(
    source: SignalSource = process,
    now: () => number = () => performance.now(),
  ) {
    for (const signal of HANDLED_SIGNALS) {
      source.on(signal, () => this.receive({signal, receivedAt: now()}));
    }
  }

  /** Passes the kept signals to a listener, then each later one. */
  setListener(listener: (received: ReceivedSignal) => void): void {
    this.listener = listener;
    this.kept.splice(0).forEach(listener);
  }

  private receive(received: ReceivedSignal): void {
    if (this.listener === undefined) {
      this.kept.push(received);
    } else {
      this.listener(received);
    }
  }
}
