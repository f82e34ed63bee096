import {createHash} from 'node:crypto';

/** The parts of a reservation's id. */
export interface ParsedReservationId {
  /** What the granting process knows it by. */
  readonly localId: string;
  /** The instance that granted it. */
  readonly grantedBy: string;
}

const SEPARATOR = '@';
/** Characters that stand for a process: 72 bits, so that no two are ever alike. */
const PROCESS_CHARACTERS = 12;

/** Names reservations: unique for each process, and telling who granted them, so that nothing need be kept here. */
export class ReservationIds {
  private readonly process: string;
  private count = 0;

  constructor(instanceId: string, incarnation: string) {
    const hash = createHash('sha256').update(`${instanceId} ${incarnation}`);
    this.process = hash.digest('base64url').slice(0, PROCESS_CHARACTERS);
  }

  /** A new id as the granting process will know it. */
  next(): string {
    this.count += 1;
    return `${this.process}.${this.count.toString(36)}`;
  }

  /** The id as the requester keeps it. */
  join(localId: string, grantedBy: string): string {
    return `${localId}${SEPARATOR}${grantedBy}`;
  }

  /** Takes a requester's id apart. */
  parse(reservationId: string): ParsedReservationId {
    const separator = reservationId.lastIndexOf(SEPARATOR);
    return {
      localId: reservationId.slice(0, separator),
      grantedBy: reservationId.slice(separator + 1),
    };
  }
}
