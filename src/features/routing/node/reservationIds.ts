import {createHash} from 'node:crypto';

/** The parts of a reservation id as the requester keeps it. */
export interface ParsedReservationId {
  /** The id within the granting process. */
  readonly localId: string;
  /** The instance that granted the reservation. */
  readonly grantedBy: string;
}

const SEPARATOR = '@';
/** Characters that identify a process: 72 bits make collisions negligible. */
const PROCESS_ID_CHARACTERS = 12;

/** Creates reservation ids that are unique per process and name the granting instance, so that no lookup is needed. */
export class ReservationIds {
  private readonly processId: string;
  private count = 0;

  constructor(instanceId: string, incarnation: string) {
    const hash = createHash('sha256').update(`${instanceId} ${incarnation}`);
    this.processId = hash.digest('base64url').slice(0, PROCESS_ID_CHARACTERS);
  }

  /** Creates an id for use within the granting process. */
  next(): string {
    this.count += 1;
    return `${this.processId}.${this.count.toString(36)}`;
  }

  /** Joins both parts into the id that the requester keeps. */
  join(localId: string, grantedBy: string): string {
    return `${localId}${SEPARATOR}${grantedBy}`;
  }

  /** Splits the id that the requester keeps. */
  parse(reservationId: string): ParsedReservationId {
    const separator = reservationId.lastIndexOf(SEPARATOR);
    return {
      localId: reservationId.slice(0, separator),
      grantedBy: reservationId.slice(separator + 1),
    };
  }
}
