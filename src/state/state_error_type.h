/** @file state_error_type.h Errors of the configuration state. */
#ifndef LABURNUMWEIR_STATE_STATE_ERROR_TYPE_H
#define LABURNUMWEIR_STATE_STATE_ERROR_TYPE_H

#include <system_error>

namespace laburnumweir {

/** Why a record or a command is refused. */
enum class StateErrc
{
  MalformedRecord = 1, ///< The text is not a record of the configuration stream.
  NewerSchema,         ///< The record was written with a newer schema than this release reads.
  StaleBase,           ///< The change is based on a revision that is no longer the newest.
  DuplicateChange,     ///< A change with this id was folded before.
  InvalidRules,        ///< The change would leave rules that contradict each other.
  NoChange,            ///< The wanted rules are already in force.
  StaleIncarnation,    ///< The host was seen with this or a later incarnation.
  UnknownMember,       ///< No member has this host and incarnation.
  NotAMember,          ///< The proposer is not a member.
};

/** @return the category of StateErrc. */
const std::error_category&
StateCategory();
/** @return the error as a std::error_code. */
std::error_code
make_error_code(StateErrc aError);

} // namespace laburnumweir

template<>
struct std::is_error_code_enum<laburnumweir::StateErrc> : std::true_type
{
};

#endif
