/** @file token_service.h Buckets of the workspaces that this host owns. */
#ifndef LABURNUMWEIR_CONTROL_TOKEN_SERVICE_H
#define LABURNUMWEIR_CONTROL_TOKEN_SERVICE_H

#include "control/config_view_base.h"
#include "control/peer_router.h"
#include "limits/bucket_owner.h"

#include <map>
#include <set>
#include <vector>

namespace laburnumweir {

/** Answers TokenRequest for the workspaces that this host owns. Control thread only. */
class TokenService : public ConfigListener
{
public:
  /**
   * @param aRouter routes requests of holders here.
   * @param aView the agreed state.
   * @param aClock time source.
   * @param aSettings settings of the buckets.
   */
  TokenService(PeerRouter& aRouter,
               const ConfigView& aView,
               const Clock& aClock,
               const LimitSettings& aSettings);

  void OnRecord(const ConfigState& aState) override;
  void OnJump(const ConfigState& aState) override;
  void OnTick(const ConfigState& aState) override;

  /** @return workspaces whose buckets this host keeps. */
  std::vector<WorkspaceId> Owned() const;

private:
  void Follow(const ConfigState& aState, const WorkspaceRule& aRule);
  bool IsJustAdded(const WorkspaceId& aWorkspace) const;
  void NoteWorkspaces(const RuleSet& aRules);
  void Serve(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond);

  PeerRouter& router_;                         ///< Routes requests.
  const ConfigView& view_;                     ///< The agreed state.
  const Clock& clock_;                         ///< Time source.
  LimitSettings settings_;                     ///< Settings of the buckets.
  std::map<WorkspaceId, BucketOwner> buckets_; ///< Buckets that this host owns.
  std::map<WorkspaceId, LogOffset> takeovers_; ///< Record that made this host the owner.
  std::set<WorkspaceId> known_;                ///< Workspaces of the rules folded before.
  std::map<WorkspaceId, TimePoint> removed_;   ///< When workspaces were removed, the newest ones.
  TimePoint since_;                            ///< Since when every record was seen.
};

} // namespace laburnumweir

#endif
