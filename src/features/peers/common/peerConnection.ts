import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {
  AgedRecord,
  ExchangeResponse,
  ExchangeRequest,
  PeerNotice,
  PeerNoticeResponse,
  PeerSnapshot,
  RosterResponse,
} from './peerMessages.js';

/** Why a call to a peer failed. */
export interface PeerError {
  readonly kind: 'unreachable';
  readonly detail: string;
}

/** The port for calls to other control programs, by address. */
export abstract class PeerConnection {
  abstract exchange(
    address: string,
    request: ExchangeRequest,
    token: CancellationToken,
  ): Promise<Result<ExchangeResponse, PeerError>>;

  abstract notify(
    address: string,
    notice: PeerNotice,
    token: CancellationToken,
  ): Promise<Result<PeerNoticeResponse, PeerError>>;

  abstract roster(
    address: string,
    token: CancellationToken,
  ): Promise<Result<RosterResponse, PeerError>>;

  abstract records(
    address: string,
    token: CancellationToken,
  ): Promise<Result<readonly AgedRecord[], PeerError>>;

  abstract snapshot(
    address: string,
    token: CancellationToken,
  ): Promise<Result<PeerSnapshot, PeerError>>;
}
