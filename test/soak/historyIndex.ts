import {UpstreamCall} from '../standins/fleet/upstreamLog.js';
import {Attempt, Bounds, History, ProcessEvent} from './history.js';

/** A stretch of time. */
interface Span {
  readonly from: number;
  readonly until: number;
}

/** Answers the questions that several checks ask of a history. */
export class HistoryIndex {
  readonly bounds: Bounds;
  readonly attempts: readonly Attempt[];
  private readonly callsById = new Map<string, UpstreamCall[]>();
  private readonly attemptsById: ReadonlyMap<string, Attempt>;

  constructor(readonly history: History) {
    this.bounds = history.bounds;
    this.attempts = history.attempts;
    this.attemptsById = new Map(
      history.attempts.map(attempt => [attempt.requestId, attempt]),
    );
    for (const call of history.calls) {
      const calls = this.callsById.get(call.requestId) ?? [];
      calls.push(call);
      this.callsById.set(call.requestId, calls);
    }
  }

  attemptOf(call: UpstreamCall): Attempt | undefined {
    return this.attemptsById.get(call.requestId);
  }

  callsOf({requestId}: Attempt): readonly UpstreamCall[] {
    return this.callsById.get(requestId) ?? [];
  }

  runsOf(attempt: Attempt): readonly UpstreamCall[] {
    return this.callsOf(attempt).filter(({hasRun}) => hasRun);
  }

  /** Moments at which an instance got a signal. */
  signalsOf(instance: string, signal: string): readonly number[] {
    return this.eventsOf(instance).flatMap(event =>
      event.kind === 'signal' && event.signal === signal ? [event.at] : [],
    );
  }

  eventsOf(instance: string): readonly ProcessEvent[] {
    return this.history.processEvents.filter(
      event => event.instance === instance,
    );
  }

  /** The start of the process that ran at a moment. */
  lastStartBefore(instance: string, moment: number): number {
    const starts = this.eventsOf(instance).filter(
      ({kind, at}) => kind === 'start' && at <= moment,
    );
    return starts.at(-1)?.at ?? -Infinity;
  }

  /** Whether an instance was killed or frozen in a span; the kill after a stop that took too long is planned. */
  hasUnplannedImpairment(instance: string, span: Span): boolean {
    return this.eventsOf(instance).some(event => {
      switch (event.kind) {
        case 'signal':
          return (
            event.signal === 'SIGKILL' &&
            !event.isOverdue &&
            isWithin(event.at, span)
          );
        case 'freeze':
          return event.at <= span.until && event.until >= span.from;
        case 'start':
        case 'exit':
          return false;
      }
    });
  }

  /** Whether one of these upstreams, or the store, was in trouble in a span. */
  isImpaired(subjects: readonly string[], span: Span): boolean {
    return this.history.impairments.some(
      ({subject, from, until}) =>
        subjects.includes(subject) && from <= span.until && until >= span.from,
    );
  }

  /** Whether an instance and the store were without trouble for the whole contact time before a moment. */
  isInTouch(instance: string, moment: number): boolean {
    const span = {
      from: moment - this.bounds.contactMilliseconds,
      until: moment,
    };
    const isDisturbed = this.eventsOf(instance).some(event => {
      switch (event.kind) {
        case 'signal':
          return event.signal !== 'SIGHUP' && isWithin(event.at, span);
        case 'freeze':
          return event.at <= span.until && event.until >= span.from;
        case 'start':
          return isWithin(event.at, span);
        case 'exit':
          return false;
      }
    });
    return !isDisturbed && !this.isImpaired(['store'], span);
  }
}

function isWithin(moment: number, {from, until}: Span): boolean {
  return moment >= from && moment <= until;
}
