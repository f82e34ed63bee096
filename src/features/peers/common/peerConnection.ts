import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {
  AgedRecord,
  ExchangeAnswer,
  ExchangeRequest,
  PeerNotice,
  PeerNoticeAnswer,
  PeerSnapshot,
  RosterAnswer,
} from './peerMessages.js';

/** Why a peer did not answer. */
export interface PeerError {
  readonly kind: 'unreachable';
  readonly detail: string;
}

/** Calls to other control programs by address, as a port. */
export abstract class PeerConnection {
  abstract exchange(
    address: string,
    request: ExchangeRequest,
    token: CancellationToken,
  ): Promise<Result<ExchangeAnswer, PeerError>>;

  abstract notify(
    address: string,
    notice: PeerNotice,
    token: CancellationToken,
  ): Promise<Result<PeerNoticeAnswer, PeerError>>;

  abstract roster(
    address: string,
    token: CancellationToken,
  ): Promise<Result<RosterAnswer, PeerError>>;

  abstract records(
    address: string,
    token: CancellationToken,
  ): Promise<Result<readonly AgedRecord[], PeerError>>;

  abstract snapshot(
    address: string,
    token: CancellationToken,
  ): Promise<Result<PeerSnapshot, PeerError>>;
}
