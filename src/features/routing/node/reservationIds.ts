/** The parts of a reservation's id. */
export interface ParsedReservationId {
  /** What the granting process knows it by. */
  readonly localId: string;
  /** The instance that granted it. */
  readonly grantedBy: string;
}

const SEPARATOR = '@';

/** Names reservations: unique for each process, and telling who granted them, so that nothing need be kept here. */
export class ReservationIds {
  private count = 0;

  constructor(
    private readonly instanceId: string,
    private readonly incarnation: string,
  ) {}

  /** A new id as the granting process will know it. */
  next(): string {
    this.count += 1;
    return `${this.instanceId}.${this.incarnation}.${this.count.toString(36)}`;
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
